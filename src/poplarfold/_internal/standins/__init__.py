"""Small stand-ins for the systems that poplarfold talks to, for tests and demos.

Each outside system has a model, to which the caller passes the time, and a stand-in
that serves the model over loopback HTTP. Benches run the models in simulated time.
Tests and demos start the stand-ins, most easily with ``Fleet``.
"""
