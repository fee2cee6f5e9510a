/** A whole site in one process: stand-ins for the platform, entry hosts, and callers of several teams. */
package org.basilswitch.cli.demo;
