"""Token streams: order, resumption, readers and stalls."""
