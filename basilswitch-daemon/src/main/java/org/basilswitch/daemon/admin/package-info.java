/** The administration interface {@code /admin/v1}: operator keys, records, changes, status, audit and its OpenAPI page. */
package org.basilswitch.daemon.admin;
