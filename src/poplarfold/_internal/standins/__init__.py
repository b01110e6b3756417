"""Small stand-ins for the systems that poplarfold meets, for tests and demos.

Each outside system has a pure model, to which time is passed in, and a stand-in
that serves the model over loopback HTTP. Benches drive the models under an
advanced clock; tests and demos start the stand-ins, most easily with ``Fleet``.
"""
