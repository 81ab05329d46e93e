"""Translates between the users' platform and the product.

Names of the platform's pages stand in this package only.
"""
