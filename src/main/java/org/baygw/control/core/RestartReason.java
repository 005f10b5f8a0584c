package org.baygw.control.core;

/** Why a core must be replaced by a new one, which begins without memory or roles. */
public enum RestartReason {
  /** A change of the state cache failed half-way, so that its indexes may contradict each other. */
  STATE_CACHE_INCONSISTENT,
  /** The state service answers, but its answers have not brought the cache up to date for long. */
  STATE_CACHE_OUTDATED
}
