"""What every program here shows its operators: logs, metrics, and the HTTP they are read by."""
