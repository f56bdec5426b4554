"""How fast an engine works, where no measurement of its own is at hand.

Both figures are those of the engines' sheet; an entry needs them only to
compare engines and to guess whether a stream ends in time.
"""

__all__ = ('PROMPT_TOKENS_A_SECOND', 'TOKEN_SECONDS')

# Prompts are read one after the other, so what stands before a call is time
# to its first token.
PROMPT_TOKENS_A_SECOND = 14_000
# A token of one stream with some neighbours: 7 ms a step and a little for
# each of them.
TOKEN_SECONDS = 0.009
