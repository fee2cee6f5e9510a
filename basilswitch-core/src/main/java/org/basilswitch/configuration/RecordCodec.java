package org.basilswitch.configuration;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Encodes configuration records as JSON; unknown fields are ignored so that two versions run side by side. */
public final class RecordCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private RecordCodec() {}

    /** Encodes any record of basic fields, lists and maps. */
    public static byte[] encode(Object record) {
        try {
            return MAPPER.writeValueAsBytes(record);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not encodable: " + record.getClass(), e);
        }
    }

    /** Decodes a record; empty when the bytes are not a record of this type. */
    public static <T> Optional<T> decode(byte[] bytes, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(bytes, type));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
