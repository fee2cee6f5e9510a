package org.basilswitch.daemon.livelist;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

import org.basilswitch.configuration.RecordCodec;

/**
 * JSON body of the platform's host list.
 *
 * @param measuredAt UTC instant at which the platform observed the hosts
 * @param live names of live hosts
 * @param leaving names of hosts about to leave
 */
record HostListDocument(String measuredAt, Set<String> live, Set<String> leaving) {

    /** A validated list, with all fields present and the instant parsed. */
    record ValidatedList(Instant measuredAt, Set<String> live, Set<String> leaving) {}

    static Optional<ValidatedList> decode(byte[] bytes) {
        return RecordCodec.decode(bytes, HostListDocument.class).flatMap(HostListDocument::validate);
    }

    private Optional<ValidatedList> validate() {
        if (measuredAt == null || live == null || leaving == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(new ValidatedList(Instant.parse(measuredAt), Set.copyOf(live), Set.copyOf(leaving)));
        } catch (DateTimeException | NullPointerException e) {
            return Optional.empty();
        }
    }
}
