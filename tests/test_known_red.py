"""Tests of the known-failures plugin: failures of listed tests, and of no others, are tolerated."""

from __future__ import annotations

import pytest

from tests.known_red import LIST_NAME

Pytester = pytest.Pytester
TESTS = """
    import pytest

    @pytest.fixture
    def broken():
        raise OSError("no such thing")

    @pytest.fixture
    def leaves():
        yield
        raise OSError("left behind")

    def test_red(): assert 1 == 2
    def test_green(): pass
    def test_late(leaves): assert 1 == 2
    def test_no_setup(broken): pass
    def test_skipped(): pytest.skip("not here")

    @pytest.mark.parametrize("number", [1, 2])
    def test_each(number): assert number == 1

    @pytest.mark.parametrize("text", ["a | b"])
    def test_mark(text): assert not text
"""
FILE = "tests/test_some.py"


def run_listed(pytester: Pytester, listed: str | None, *args: str) -> pytest.RunResult:
    """Run `TESTS` in a directory of their own, with `listed` as the contents of the list."""
    pytester.makeini("[pytest]\ntestpaths = tests\nasyncio_default_fixture_loop_scope = function\n")
    pytester.path.joinpath("tests").mkdir(exist_ok=True)
    pytester.makepyfile(**{"tests/test_some": TESTS})
    if listed is not None:
        (pytester.path / LIST_NAME).write_text(listed, encoding="utf-8")
    return pytester.runpytest("-p", "tests.known_red", "-p", "no:cacheprovider", *args)


def line(test: str, command: str = "seed 7", seen: str = "late lists", issue: str = "#24") -> str:
    """Return a line of the list for a test of `TESTS`."""
    return f"{FILE}::{test} | {command} | {seen} | {issue}\n"


def test_a_listed_failure_does_not_fail_the_run_and_is_printed(pytester: Pytester) -> None:
    result = run_listed(pytester, "# why\n\n" + line("test_red"), "-k", "red or green")
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1, xfailed=1, deselected=6)
    result.stdout.fnmatch_lines(
        [f"*{LIST_NAME}*", f"{FILE}::test_red | seed 7 | late lists | #24: still fails, passed over"]
    )


def test_another_failure_fails_the_run(pytester: Pytester) -> None:
    result = run_listed(pytester, line("test_red"))
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=2, xfailed=1, failed=3, errors=2, skipped=1)
    result.stdout.fnmatch_lines([f"{FILE}::test_red | *", f"FAILED {FILE}::test_late*"])


def test_without_the_file_nothing_is_listed(pytester: Pytester) -> None:
    result = run_listed(pytester, None, f"{FILE}::test_red")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.no_fnmatch_line(f"*{LIST_NAME}*")


def test_a_listed_test_that_passes_is_reported_and_does_not_fail_the_run(pytester: Pytester) -> None:
    result = run_listed(pytester, line("test_green"), "-k", "green")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines([f"{FILE}::test_green | seed 7 | late lists | #24: PASSES*"])


def test_a_listed_test_that_is_skipped_is_reported(pytester: Pytester) -> None:
    result = run_listed(pytester, line("test_skipped"), "-k", "skipped")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines([f"{FILE}::test_skipped | seed 7 | late lists | #24: was skipped"])


def test_one_parameter_set_of_a_test_can_be_listed(pytester: Pytester) -> None:
    result = run_listed(pytester, line("test_each[2]") + line("test_mark[a | b]"), "-k", "each or mark")
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1, xfailed=2, deselected=5)


@pytest.mark.parametrize("listed", ["test_each[1]", "test_each[2]"])
def test_listing_one_parameter_set_does_not_cover_the_others(pytester: Pytester, listed: str) -> None:
    result = run_listed(pytester, line(listed), "-k", "each")
    assert result.ret == (pytest.ExitCode.OK if "2" in listed else pytest.ExitCode.TESTS_FAILED)


def test_a_setup_failure_of_a_listed_test_is_tolerated(pytester: Pytester) -> None:
    result = run_listed(pytester, line("test_no_setup"), "-k", "no_setup")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        [f"{FILE}::test_no_setup | seed 7 | late lists | #24: still fails, passed over"]
    )


def test_a_teardown_failure_of_a_listed_test_fails_the_run(pytester: Pytester) -> None:
    result = run_listed(pytester, line("test_late"), "-k", "late")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(xfailed=1, errors=1, deselected=7)


@pytest.mark.parametrize("name", ["test_gone", "test_each", "test_each[3]"])
def test_a_listed_name_without_a_test_fails_a_full_run(pytester: Pytester, name: str) -> None:
    result = run_listed(pytester, line(name))
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"ERROR: {LIST_NAME}: there is no test {FILE}::{name}".replace("[", "[[]")])


@pytest.mark.parametrize("args", ["tests", "tests/", "-k green", f"--deselect {FILE}::test_red"])
def test_a_run_of_all_test_paths_is_a_full_run(pytester: Pytester, args: str) -> None:
    assert run_listed(pytester, line("test_gone"), *args.split()).ret == pytest.ExitCode.USAGE_ERROR


def test_a_partial_run_does_not_check_the_other_listed_names(pytester: Pytester) -> None:
    result = run_listed(pytester, line("test_gone") + line("test_red"), f"{FILE}::test_green")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.no_fnmatch_line(f"*{LIST_NAME}*")


def test_a_collection_error_fails_the_run_before_the_list_is_checked(pytester: Pytester) -> None:
    pytester.path.joinpath("tests").mkdir()
    pytester.makepyfile(**{"tests/test_other": "import nothing_of_that_name"})
    result = run_listed(pytester, line("test_red").replace("test_some", "test_other"))
    assert result.ret == pytest.ExitCode.INTERRUPTED
    result.stdout.fnmatch_lines(["ERROR tests/test_other.py"])


@pytest.mark.parametrize(
    "listed",
    [
        line("test_red") * 2,
        line("test_red", issue=""),
        line("test_red", seen=" "),
        line("test_red", command=" "),
        f"{FILE}::test_red\n",
        f"{FILE}::test_red | late lists\n",
        f"{FILE}::test_red | late lists | #24\n",
    ],
)
def test_a_malformed_list_fails_any_run(pytester: Pytester, listed: str) -> None:
    result = run_listed(pytester, listed, f"{FILE}::test_green")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"ERROR: {LIST_NAME}: *"])


def test_every_test_of_a_long_list_is_tolerated(pytester: Pytester) -> None:
    """Guards against a limit on the number of entries, which would exclude faults found late."""
    listed = ["test_red", "test_late", "test_no_setup", "test_each[2]", "test_mark[a | b]"]
    result = run_listed(pytester, "".join(map(line, listed)), "--deselect", f"{FILE}::test_late")
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=2, xfailed=4, skipped=1, deselected=1)


def test_a_list_that_is_not_utf_8_fails_any_run(pytester: Pytester) -> None:
    (pytester.path / LIST_NAME).write_bytes(b"\xff\xfe")
    assert run_listed(pytester, None, f"{FILE}::test_green").ret == pytest.ExitCode.USAGE_ERROR


def test_workers_of_a_parallel_run_tolerate_only_listed_tests(pytester: Pytester) -> None:
    result = run_listed(pytester, line("test_red"), "-k", "red or green", "-n", "2")
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines([f"{FILE}::test_red | seed 7 | late lists | #24: still fails, passed over"])
    result = run_listed(pytester, line("test_red"), "-n", "2")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines([f"{FILE}::test_red | *", f"FAILED {FILE}::test_late*"])


def test_an_unknown_test_fails_a_parallel_run(pytester: Pytester) -> None:
    result = run_listed(pytester, line("test_nowhere"), "-n", "2")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stdout.fnmatch_lines([f"ERROR: {LIST_NAME}: there is no test {FILE}::test_nowhere"])
