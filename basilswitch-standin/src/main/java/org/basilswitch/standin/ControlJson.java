package org.basilswitch.standin;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.basilswitch.configuration.RecordCodec;

/** Decodes partial settings sent to a control path; absent fields keep their current values. */
public final class ControlJson {

    private ControlJson() {}

    /** Returns the current settings with the body's fields replaced; empty if the body is not valid for their type. */
    @SuppressWarnings("unchecked")
    public static <T> Optional<T> merge(T current, Buffer body) {
        try {
            JsonObject fields = new JsonObject(Buffer.buffer(RecordCodec.encode(current)));
            fields.mergeIn(new JsonObject(body));
            return RecordCodec.decode(fields.toBuffer().getBytes(), (Class<T>) current.getClass());
        } catch (DecodeException e) {
            return Optional.empty();
        }
    }
}
