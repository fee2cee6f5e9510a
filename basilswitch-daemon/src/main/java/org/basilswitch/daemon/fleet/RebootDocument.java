package org.basilswitch.daemon.fleet;

/**
 * JSON body of a reboot call.
 *
 * @param bootId identifier of the boot to end; the host refuses the call when its current boot differs
 */
record RebootDocument(String bootId) {}
