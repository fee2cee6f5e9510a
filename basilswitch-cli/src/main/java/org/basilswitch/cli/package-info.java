/** The command line. */
package org.basilswitch.cli;
