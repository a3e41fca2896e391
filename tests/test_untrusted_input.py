"""Any bytes from callers and backend servers are read without an exception."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from copperyard.entry_messages import LoadReport, LoadUpdate, encode_message
from copperyard.platform.headers import read_cold_left_s, read_load

ODD_NUMBERS = st.sampled_from(
    ('nan', 'inf', '-inf', '-1', '-0', '0', '1e400', '9' * 400, '1_0', '²')
)
NUMBERS = st.one_of(ODD_NUMBERS, st.integers().map(str), st.floats().map(str))
any_input = settings(derandomize=True, deadline=None)
latin_1_text = st.text(st.characters(max_codepoint=255))


@any_input
@given(st.one_of(st.lists(NUMBERS, max_size=6).map(','.join), latin_1_text))
def test_any_load_report_is_valid_or_left_out(text):
    """Guards against a load report that ends the entry or its estimates.

    NaN cannot be converted to a count, infinite and huge counts overflow the
    messages to other entries, and a slowness of NaN never leaves an average.
    """
    sample = read_load(text)
    if sample is not None:
        assert sample.active_requests >= 0
        assert sample.slots >= 1
        assert 0 < sample.slowness < math.inf
        report = LoadReport(
            's', sample.active_requests, sample.slots, sample.slowness, 0.0
        )
        assert encode_message(LoadUpdate((report,)))


@any_input
@given(st.one_of(NUMBERS.map(str.encode), st.binary()))
def test_any_cold_period_is_finite_or_left_out(value):
    """Guards against a server that stays cold forever."""
    cold_left_s = read_cold_left_s(((b'x-warmup-ms', value),))
    assert cold_left_s is None or 0 <= cold_left_s < math.inf
