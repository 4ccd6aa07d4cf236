"""The hall's ledger: records in the platform's log, and the state that results from them."""
