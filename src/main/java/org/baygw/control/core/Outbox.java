package org.baygw.control.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the calls and answers that the core issues while it handles one input; the event loop
 * carries them out.
 */
public final class Outbox {
  /** Receives the outcome of a call. */
  public interface Callback {
    /**
     * @param status the HTTP status, or {@link #NO_ANSWER} or {@link #NOT_SENT}
     */
    void done(int status, byte[] body);
  }

  /** No answer arrived: the request may have been, or may still be, carried out. */
  public static final int NO_ANSWER = 0;

  /** The request was not sent, so it was certainly not carried out. */
  public static final int NOT_SENT = -1;

  /** A call or an answer that the core issues. */
  public sealed interface Effect permits Call, Answer {}

  /**
   * An HTTP request to another system.
   *
   * @param carriesOrders whether the call carries orders to a worker, which only the active owner
   *     of the worker's partition may send
   */
  public record Call(
      String addr,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Callback callback,
      boolean carriesOrders)
      implements Effect {}

  /**
   * The answer to an incoming request.
   *
   * @param requestId the ID of the request
   * @param retryAfterS seconds of the Retry-After header; 0 for none
   * @param carriesOrders whether the answer carries orders to a worker, as for a call
   */
  public record Answer(
      long requestId, int status, byte[] body, int retryAfterS, boolean carriesOrders)
      implements Effect {
    private static final byte[] WITHHELD =
        Json.bytes(Json.object().put("error", "another controller may have taken over"));

    /** Answers a worker in place of withheld orders, so that it contacts another controller. */
    public static Answer withheld(long requestId) {
      return new Answer(requestId, 503, WITHHELD, 0, false);
    }
  }

  private List<Effect> effects = new ArrayList<>();

  public void call(
      String addr, String method, String path, byte[] body, long timeoutMs, Callback callback) {
    effects.add(new Call(addr, method, path, body, timeoutMs, callback, false));
  }

  /** Sends orders to a worker. */
  public void sendOrders(String addr, String path, byte[] body, long timeoutMs, Callback callback) {
    effects.add(new Call(addr, "POST", path, body, timeoutMs, callback, true));
  }

  /** Answers a worker's report with orders. */
  public void answerOrders(long requestId, byte[] body) {
    effects.add(new Answer(requestId, 200, body, 0, true));
  }

  public void answer(long requestId, int status, byte[] body) {
    effects.add(new Answer(requestId, status, body, 0, false));
  }

  public void answer(long requestId, int status, byte[] body, int retryAfterS) {
    effects.add(new Answer(requestId, status, body, retryAfterS, false));
  }

  /** Removes and returns the collected effects. */
  public List<Effect> drain() {
    List<Effect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }
}
