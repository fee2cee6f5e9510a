package org.basilswitch.daemon.admin;

import java.util.List;

import org.basilswitch.daemon.settings.Settings;

/**
 * Options of the administration interface.
 *
 * @param operators operators with the hashes of their keys
 * @param administration limits of changes
 * @param bodyLimitBytes largest body of a change, in bytes
 */
public record AdministrationOptions(
        List<Settings.OperatorSettings> operators, Settings.AdministrationSettings administration, int bodyLimitBytes) {

    /** Makes an immutable copy of the list. */
    public AdministrationOptions {
        operators = List.copyOf(operators);
    }

    /** Returns the options that a site's settings define. */
    public static AdministrationOptions of(Settings settings) {
        return new AdministrationOptions(
                settings.operators(),
                settings.administration(),
                settings.limits().administrationBodyLimitBytes());
    }
}
