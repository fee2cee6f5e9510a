package org.basilswitch.daemon.admin;

import java.util.List;

import org.basilswitch.daemon.settings.Settings;

/**
 * What the administration interface is told at start.
 *
 * @param operators operators by the hashes of their keys
 * @param administration bounds of changes
 * @param bodyLimitBytes largest body of a change
 */
public record AdministrationOptions(
        List<Settings.OperatorSettings> operators, Settings.AdministrationSettings administration, int bodyLimitBytes) {

    /** Copies the list. */
    public AdministrationOptions {
        operators = List.copyOf(operators);
    }

    /** Takes the options from settings. */
    public static AdministrationOptions of(Settings settings) {
        return new AdministrationOptions(
                settings.operators(),
                settings.administration(),
                settings.limits().administrationBodyLimitBytes());
    }
}
