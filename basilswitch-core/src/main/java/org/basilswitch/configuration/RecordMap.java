package org.basilswitch.configuration;

import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

import io.vavr.collection.HashMap;

/**
 * An immutable map of records by name, backed by a hash array mapped trie. A changed copy shares all nodes but the
 * changed path with its original, so that the cost of a change hardly depends on the size of the map.
 */
final class RecordMap<V> extends AbstractMap<String, V> {
    private final HashMap<String, V> entries;

    private RecordMap(HashMap<String, V> entries) {
        this.entries = entries;
    }

    static <V> RecordMap<V> empty() {
        return new RecordMap<>(HashMap.empty());
    }

    RecordMap<V> with(String name, V value) {
        return new RecordMap<>(entries.put(name, value));
    }

    RecordMap<V> without(String name) {
        return new RecordMap<>(entries.remove(name));
    }

    @Override
    public V get(Object name) {
        return name instanceof String text ? entries.getOrElse(text, null) : null;
    }

    @Override
    public boolean containsKey(Object name) {
        return name instanceof String text && entries.containsKey(text);
    }

    @Override
    public int size() {
        return entries.size();
    }

    @Override
    public Set<Map.Entry<String, V>> entrySet() {
        return new AbstractSet<>() {
            @Override
            public Iterator<Map.Entry<String, V>> iterator() {
                return entries.iterator()
                        .map(entry -> Map.entry(entry._1(), entry._2()))
                        .iterator();
            }

            @Override
            public int size() {
                return entries.size();
            }
        };
    }
}
