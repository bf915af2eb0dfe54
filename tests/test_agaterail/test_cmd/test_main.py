from __future__ import annotations

import contextlib
import io
import os
import socket
import unittest
from unittest import mock

from agaterail.cmd import main
from tests.support import free_port, run_command
from tests.tls import make_tls_files


def run_in_process(*argv, environment=None):
    out, err = io.StringIO(), io.StringIO()
    with (
        mock.patch.dict(os.environ, environment or {}),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        status = main.run(list(argv))
    return status, out.getvalue(), err.getvalue()


class UsageErrorTest(unittest.TestCase):
    # An operator mistypes a command line. Fire alone would drop a value, pass an unknown
    # flag on or parse 007 as a number, and the daemon would run with unintended settings.
    # Each mistake must be reported in one line.
    def assert_refused(self, argv, *parts, environment=None):
        status, out, err = run_in_process(*argv, environment=environment)
        self.assertEqual((status, out), (2, ""))
        lines = err.splitlines()
        self.assertEqual(len(lines), 1, err)
        for part in parts:
            self.assertIn(part, lines[0])

    def test_a_flag_that_does_not_exist(self):
        self.assert_refused(["serve", "--pool", "007"], "--pool", "no such flag")

    def test_a_misspelt_flag_gets_a_suggestion(self):
        self.assert_refused(
            ["serve", "--lisen", "127.0.0.1:1"], "--lisen", "--listen (AGATERAIL_LISTEN)"
        )

    def test_a_missing_value(self):
        self.assert_refused(["serve", "--listen"], "--listen (AGATERAIL_LISTEN)", "missing")

    def test_a_host_name_is_not_an_address(self):
        self.assert_refused(
            ["serve", "--listen", "localhost:80"], "AGATERAIL_LISTEN", "IP:port"
        )

    def test_a_negative_time(self):
        self.assert_refused(
            ["serve", "--drain-lag-s", "-3"], "--drain-lag-s (AGATERAIL_DRAIN_LAG_S)", "'-3'"
        )

    def test_a_wrong_type_in_a_variable(self):
        self.assert_refused(
            ["serve"],
            "--max-body-bytes (AGATERAIL_MAX_BODY_BYTES)",
            environment={"AGATERAIL_MAX_BODY_BYTES": "1e6"},
        )

    def test_a_bad_address_of_a_table_command(self):
        self.assert_refused(["show", "--log-service", "log:9000"], "AGATERAIL_LOG_SERVICE")

    def test_a_secret_is_required_unless_on_loopback(self):
        self.assert_refused(
            ["serve", "--peer-listen", "10.0.0.1:80"], "AGATERAIL_PEER_SECRET", "loopback"
        )

    def test_a_certificate_without_its_key(self):
        self.assert_refused(["serve", "--tls-certificate", __file__], "AGATERAIL_TLS_KEY")

    def test_tls_files_that_do_not_match(self):
        files, others = (make_tls_files(self, ["127.0.0.1"]) for _ in range(2))
        argv = ["serve", "--tls-certificate", files.certificate, "--tls-key", others.key]
        self.assert_refused(argv, "AGATERAIL_TLS_CERTIFICATE", "cannot be used")
        flags = ("certificate", "key", "authority")
        argv = [word for name in flags for word in (f"--peer-tls-{name}", __file__)]
        self.assert_refused(["serve", *argv], "AGATERAIL_PEER_TLS_CERTIFICATE")

    def test_an_unknown_command(self):
        self.assert_refused(["serv"], "'serv'", "did you mean serve?")

    def test_apply_without_files_changes_nothing(self):
        self.assert_refused(["apply"], "table file")

    def test_arguments_that_fire_would_interpret(self):
        self.assert_refused(["version", "bit_length"], "'bit_length'")
        self.assert_refused(["version", "--"], "--")
        self.assert_refused(["version", "--interactive"], "--interactive")


class PortInUseTest(unittest.TestCase):
    def test_a_port_in_use_is_named(self):
        with socket.socket() as holder:
            holder.bind(("127.0.0.1", 0))
            holder.listen()
            taken = f"127.0.0.1:{holder.getsockname()[1]}"
            free = f"127.0.0.1:{free_port()}"
            for flag, other in (("--listen", "--peer-listen"), ("--peer-listen", "--listen")):
                ended = run_command("serve", flag, taken, other, free)
                self.assertEqual(ended.returncode, 2, ended)
                self.assertEqual(len(ended.stderr.splitlines()), 1, ended.stderr)
                self.assertIn(f"{flag} (AGATERAIL_", ended.stderr)


class SettingsFromTheCommandLineTest(unittest.TestCase):
    def print_settings(self, *argv, environment=None):
        status, out, err = run_in_process(
            "serve", "--print-settings", *argv, environment=environment
        )
        self.assertEqual(status, 0, err)
        return out, err

    def test_a_flag_overrides_its_variable_and_is_kept_as_text(self):
        out, _ = self.print_settings(
            "--domain=007",
            "--peer-listen",
            "127.0.0.1:80",
            "--log-json",
            environment={"AGATERAIL_DOMAIN": "b", "AGATERAIL_LOG_LEVEL": "error"},
        )
        self.assertIn("(AGATERAIL_DOMAIN): 007\n", out)
        self.assertIn("(AGATERAIL_PEER_LISTEN): 127.0.0.1:80\n", out)
        self.assertIn("(AGATERAIL_LOG_LEVEL): error\n", out)
        self.assertIn("(AGATERAIL_LOG_JSON): True\n", out)

    def test_an_unknown_variable_causes_a_warning(self):
        out, err = self.print_settings(
            environment={"AGATERAIL_LISEN": "x", "AGATERAIL_PEER_SECRET": "hidden"}
        )
        self.assertIn("AGATERAIL_LISEN", err)
        self.assertNotIn("hidden", out)


class HelpTest(unittest.TestCase):
    def test_each_command_has_help(self):
        for argv in (["--help"], *([name, "--help"] for name in main.COMMANDS)):
            status, out, err = run_in_process(*argv)
            self.assertEqual((status, err), (0, ""))
            self.assertIn("agaterail", out)
            self.assertNotIn("FIRE", out)
