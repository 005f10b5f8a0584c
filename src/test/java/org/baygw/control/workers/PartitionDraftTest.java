package org.baygw.control.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.baygw.control.config.Settings;
import org.baygw.control.core.Json;
import org.baygw.control.model.Partition;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.StateCache;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The limits on a write of a partition's record. */
final class PartitionDraftTest {
  private static final Partition PARTITION = new Partition("a", 0);

  /** Guards against a page that can never be written since too many tasks return to the queue. */
  @ParameterizedTest
  @ValueSource(doubles = {1, 8, 500})
  void returnedTasksFitIntoAPage(double valueKb) {
    Settings.StateLimits limits = new Settings.StateLimits(100, 100, valueKb, 16);
    PartitionDraft draft = new PartitionDraft(PARTITION, 1, limits, new StateCache());
    int returned = 0;
    while (returned < 50_000
        && draft.reserveReturned(new TaskId("run-1", 2 * returned), 1 + returned % 3)) {
      returned++;
    }
    assertTrue(returned > 50, returned + " tasks");
    assertFalse(draft.reserveReturned(new TaskId("run-1", 99_999), 1));
    int writeBytes = draft.buildTxn().bytes();
    assertTrue(writeBytes <= 64 * 1024, writeBytes + " bytes");
    int pageBytes = Json.size(Records.partitionRecord(draft.editable(0)));
    assertTrue(pageBytes <= valueKb * 1024, pageBytes + " bytes");
    assertEquals(1, draft.changedPages.size());
  }
}
