package org.baygw.control.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects what the core wants sent or answered while one input is handled; the shell carries it
 * out.
 */
public final class Outbox {
  /** Gets the outcome of a call. */
  public interface Callback {
    /**
     * @param status the HTTP status; {@link #NO_ANSWER} or {@link #NOT_SENT} where there is none
     */
    void done(int status, byte[] body);
  }

  /** The request may have been, or may still be, carried out. */
  public static final int NO_ANSWER = 0;

  /** No connection was made, so the request was certainly not carried out. */
  public static final int NOT_SENT = -1;

  /** Anything the core asks of the outside. */
  public sealed interface Effect permits Call, Answer {}

  /**
   * An HTTP request to another system.
   *
   * @param orders whether it is an order to a worker, which only the active owner of its partition
   *     may give
   */
  public record Call(
      String addr,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Callback then,
      boolean orders)
      implements Effect {}

  /**
   * The answer to a request that came in under this id.
   *
   * @param orders as for a call
   */
  public record Answer(long request, int status, byte[] body, int retryAfterS, boolean orders)
      implements Effect {
    private static final byte[] WITHHELD =
        Json.bytes(Json.object().put("error", "may have been replaced"));

    /**
     * What a worker gets in place of orders that are not to be sent: it asks another controller.
     */
    public static Answer withheld(long request) {
      return new Answer(request, 503, WITHHELD, 0, false);
    }
  }

  private List<Effect> effects = new ArrayList<>();

  public void call(
      String addr, String method, String path, byte[] body, long timeoutMs, Callback then) {
    effects.add(new Call(addr, method, path, body, timeoutMs, then, false));
  }

  /** Sends orders to a worker. */
  public void orders(String addr, String path, byte[] body, long timeoutMs, Callback then) {
    effects.add(new Call(addr, "POST", path, body, timeoutMs, then, true));
  }

  /** Answers a worker's report, with orders. */
  public void answerOrders(long request, byte[] body) {
    effects.add(new Answer(request, 200, body, 0, true));
  }

  public void answer(long request, int status, byte[] body) {
    effects.add(new Answer(request, status, body, 0, false));
  }

  public void answer(long request, int status, byte[] body, int retryAfterS) {
    effects.add(new Answer(request, status, body, retryAfterS, false));
  }

  /** Takes what was collected. */
  public List<Effect> drain() {
    List<Effect> out = effects;
    effects = new ArrayList<>();
    return out;
  }
}
