package org.basilswitch.daemon.store;

import java.net.URI;
import java.util.List;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/** Selects the store endpoint for the next call: the same one until a call to it fails, then the next in order. */
final class Endpoints {
    private final List<URI> endpoints;
    private int preferred;

    private Endpoints(List<URI> endpoints) {
        this.endpoints = endpoints;
    }

    static Endpoints of(List<URI> endpoints) {
        return new Endpoints(endpoints);
    }

    URI preferred() {
        return endpoints.get(preferred);
    }

    /** Switches to the next endpoint, unless an earlier failure has already switched away from the failed one. */
    void onFailure(URI endpoint) {
        if (preferred().equals(endpoint)) {
            preferred = (preferred + 1) % endpoints.size();
        }
    }

    int size() {
        return endpoints.size();
    }

    static RequestOptions requestOptions(URI endpoint, StoreCall call) {
        boolean ssl = "https".equals(endpoint.getScheme());
        int defaultPort = ssl ? 443 : 80;
        return new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setSsl(ssl)
                .setHost(endpoint.getHost())
                .setPort(endpoint.getPort() < 0 ? defaultPort : endpoint.getPort())
                .setURI(call.path());
    }
}
