package org.basilswitch.daemon.admin;

import java.util.List;

import org.basilswitch.administration.AuditRecord;

/** Response with audit records, newest first. */
public record AuditPage(List<AuditRecord> items) {}
