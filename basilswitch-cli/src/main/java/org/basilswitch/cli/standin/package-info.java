/** Commands that run stand-ins for the platform as separate processes. */
package org.basilswitch.cli.standin;
