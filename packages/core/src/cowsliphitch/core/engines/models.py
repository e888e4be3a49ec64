"""What is known of the load of a model engine."""

import attrs


@attrs.frozen
class EngineShare:
    """What one daemon has sent to an engine and has no whole answer for.

    :param running: requests whose first token came
    :param waiting_tokens: prompt tokens of the requests before their first token
    """

    running: int = 0
    waiting_tokens: int = 0
