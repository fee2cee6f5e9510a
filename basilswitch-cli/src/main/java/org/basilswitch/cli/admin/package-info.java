/** Commands that talk to a running entry host's administration interface. */
package org.basilswitch.cli.admin;
