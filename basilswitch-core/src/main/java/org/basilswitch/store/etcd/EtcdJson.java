package org.basilswitch.store.etcd;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Encodes the messages as the protocol buffers' JSON mapping does: 64-bit integers as strings, bytes in base64,
 * default values left out, unknown fields ignored.
 */
public final class EtcdJson {
    private static final ObjectMapper MAPPER = createMapper();

    private EtcdJson() {}

    private static ObjectMapper createMapper() {
        ObjectMapper mapper = JsonMapper.builder()
                .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                .defaultPropertyInclusion(
                        JsonInclude.Value.construct(JsonInclude.Include.NON_DEFAULT, JsonInclude.Include.ALWAYS))
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .build();
        mapper.configOverride(long.class).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.STRING));
        return mapper;
    }

    /** Encodes a message. */
    public static byte[] encode(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not encodable: " + message.getClass(), e);
        }
    }

    /** Decodes a message; empty when the bytes are not one of this type. */
    public static <T> Optional<T> decode(byte[] bytes, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(bytes, type));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** The bytes of a key. */
    public static byte[] keyBytes(String key) {
        return key.getBytes(StandardCharsets.UTF_8);
    }

    /** The key of some bytes; empty bytes or none give the empty key. */
    public static String key(byte[] bytes) {
        return bytes == null ? "" : new String(bytes, StandardCharsets.UTF_8);
    }

    /** The end of the range of keys that start with a prefix: the prefix with its last byte increased. */
    public static byte[] prefixEnd(String prefix) {
        byte[] end = keyBytes(prefix);
        end[end.length - 1]++;
        return end;
    }
}
