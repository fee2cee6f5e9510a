package org.basilswitch.daemon.admin;

import java.util.List;

/** Response with all records of a kind, sorted by name. */
public record RecordList(List<RecordView> items) {}
