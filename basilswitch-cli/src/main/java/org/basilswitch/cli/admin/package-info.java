/** Commands that use the administration interface of a running entry host. */
package org.basilswitch.cli.admin;
