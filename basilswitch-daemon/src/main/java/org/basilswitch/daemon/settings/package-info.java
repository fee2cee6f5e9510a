/**
 * Settings of a site and its entry hosts: JSON with comments, a base file and overlays.
 *
 * <p>{@link org.basilswitch.daemon.settings.SettingsSchema} lists every field; checks and docs/SETTINGS.md follow from it.
 */
package org.basilswitch.daemon.settings;
