"""Stand-ins of the review: store, upstreams and clients."""
