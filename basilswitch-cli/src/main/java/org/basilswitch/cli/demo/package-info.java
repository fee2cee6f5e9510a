/** The demo: a site in one process with stand-ins for the platform, entry hosts, and callers of several teams. */
package org.basilswitch.cli.demo;
