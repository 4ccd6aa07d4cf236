"""Callers' HTTP requests, from the listening socket to the handler.

The way of a byte: ``listener`` (sockets) - ``server`` (all connections of a listener) -
``connection`` (one connection) - ``head`` and ``body`` (parts of a request) - ``request`` (what the
handler sees) - ``response`` (its answer as bytes). ``limits`` says what one caller and all callers
together may make the process hold.
"""
