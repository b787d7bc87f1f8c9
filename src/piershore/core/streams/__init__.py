"""Token streams: order, resumption and readers."""
