/** The administration interface {@code /admin/v1}: operator keys, records, changes, status, audit log and OpenAPI document. */
package org.basilswitch.daemon.admin;
