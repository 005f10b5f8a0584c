/** Runs the case with the given class name; ends with 2 if it could not run. */
final class Run {
  public static void main(String[] args) {
    try {
      Class.forName(args[0]).getDeclaredMethod("main", String[].class).invoke(null, (Object) args);
    } catch (Throwable e) {
      e.printStackTrace();
      System.exit(2);
    }
  }
}
