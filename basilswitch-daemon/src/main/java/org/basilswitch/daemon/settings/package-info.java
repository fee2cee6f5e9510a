/**
 * Settings of a site and its entry hosts: JSON with comments, a base file and overlays that hold only what differs.
 *
 * <p>{@link org.basilswitch.daemon.settings.Schema} lists every field; all else follows from it.
 */
package org.basilswitch.daemon.settings;
