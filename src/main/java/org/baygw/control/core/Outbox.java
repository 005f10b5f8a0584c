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

  /** An HTTP request to another system. */
  public record Call(
      String addr, String method, String path, byte[] body, long timeoutMs, Callback then)
      implements Effect {}

  /** The answer to a request that came in under this id. */
  public record Answer(long request, int status, byte[] body, int retryAfterS) implements Effect {}

  private List<Effect> effects = new ArrayList<>();

  public void call(
      String addr, String method, String path, byte[] body, long timeoutMs, Callback then) {
    effects.add(new Call(addr, method, path, body, timeoutMs, then));
  }

  public void answer(long request, int status, byte[] body) {
    effects.add(new Answer(request, status, body, 0));
  }

  public void answer(long request, int status, byte[] body, int retryAfterS) {
    effects.add(new Answer(request, status, body, retryAfterS));
  }

  /** Takes what was collected. */
  public List<Effect> drain() {
    List<Effect> out = effects;
    effects = new ArrayList<>();
    return out;
  }
}
