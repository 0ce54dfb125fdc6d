"""Comparison of this tree's behaviour with an earlier revision's, at boundaries whose bytes are fixed."""
