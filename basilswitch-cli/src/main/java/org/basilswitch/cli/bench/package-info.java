/** The measurements' commands. */
package org.basilswitch.cli.bench;
