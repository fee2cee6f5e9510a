/** Commands that run measurements. */
package org.basilswitch.cli.bench;
