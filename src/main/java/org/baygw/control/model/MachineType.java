package org.baygw.control.model;

import java.util.List;

/** A machine type that the cloud offers. */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {

  public boolean fits(JobSpec spec) {
    return spec.cpus() <= cpus && spec.gpus() <= gpus && spec.memoryGb() <= memoryGb;
  }
}
