package org.baygw.control.workers;

/** What allowed an order to a worker, for the log. */
enum OrderReason {
  /** The task is on record for the machine and neither reported nor possibly launched yet. */
  ON_RECORD("on record"),

  /** The task is not on record for the machine under the reported attempt. */
  NOT_ON_RECORD("not on record"),

  /** The task's job was cancelled or is done. */
  JOB_ENDED("job ended"),

  /** The scheduler has withdrawn the task's grant. */
  GRANT_WITHDRAWN("grant withdrawn"),

  /** A consolidation round moves the task to another machine. */
  MOVED("moved"),

  /** The machine is drained by an operator or was given notice by the cloud. */
  MACHINE_LEAVING("machine leaving"),

  /** The task's end is durable. */
  END_RECORDED("end recorded");

  private final String text;

  OrderReason(String text) {
    this.text = text;
  }

  @Override
  public String toString() {
    return text;
  }
}
