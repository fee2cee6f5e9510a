package org.basilswitch.daemon.admin;

import java.util.List;

import org.basilswitch.administration.AuditRecord;

/** Audit records, newest first. */
public record AuditPage(List<AuditRecord> items) {}
