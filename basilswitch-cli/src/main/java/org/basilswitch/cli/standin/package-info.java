/** Commands that run the stand-ins for the platform as processes of their own. */
package org.basilswitch.cli.standin;
