"""Work that goes to other halls, is lent to them, or is given back."""
