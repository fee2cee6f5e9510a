/** The command line {@code basilswitch}. */
package org.basilswitch.cli;
