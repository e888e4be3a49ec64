"""A caller's request, decoded, and what a server says about its answer."""

import attrs

Header = tuple[bytes, bytes]


@attrs.frozen
class PromptPart:
    """A part of a prompt that several requests may share."""

    id: str
    tokens: int


@attrs.frozen
class Generation:
    """The work that a request asks of a model engine.

    :param prompt: the prompt's parts in order; the last is the request's own
    :param output_tokens: most tokens that it may generate
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    prompt: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have too."""
        return self.prompt[:-1]


@attrs.frozen
class CallerRequest:
    """One attempt of a caller.

    :param target: path and query, unchanged
    :param headers: the headers that go on to a server
    :param received_ms: monotonic time of its first byte
    :param timeout_ms: how long the caller will wait, ``None`` if it does not say
    :param pieces: pieces of each stage, 0 where the stage is left out
    :param piece_key: what the pieces of the first stages are made from
    :param resume_after: last event that the caller has of a broken stream
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    received_ms: int
    timeout_ms: int | None = None
    key: str | None = None
    generation: Generation | None = None
    pieces: tuple[int, ...] = ()
    piece_key: str = ""
    resume_after: str | None = None


@attrs.frozen
class Load:
    """What a server says of its load."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class AnswerMetadata:
    """What the head of a server's answer says.

    :param not_run: the server states that it did not run the request
    :param has_seal: the server's proof of the answer is there
    :param wrong_server: another server has the address by now
    :param results_lost: a stage's result that the request reads is gone
    """

    status: int
    not_run: bool
    has_seal: bool
    wrong_server: bool
    results_lost: bool
    load: Load | None

    @property
    def is_success(self) -> bool:
        """Tell whether the status is a success."""
        return 200 <= self.status < 300
