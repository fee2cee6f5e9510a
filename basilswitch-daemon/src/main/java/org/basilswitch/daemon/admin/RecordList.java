package org.basilswitch.daemon.admin;

import java.util.List;

/** All records of a kind, in order of their names. */
public record RecordList(List<RecordView> items) {}
