"""``flamingoladder daemon``."""

from __future__ import annotations

import os
import sys

from flamingoladder import event_loop
from flamingoladder.console.exit_codes import ExitCode
from flamingoladder.daemon.application import run_daemon
from flamingoladder.daemon.settings import read_settings


def daemon(
    *,
    host: str | None = None,
    region: str | None = None,
    failure_domain: str | None = None,
    address: str | None = None,
    caller_port: str | None = None,
    operator_port: str | None = None,
    peer_port: str | None = None,
    platform_url: str | None = None,
    platform_token: str | None = None,
    operator_tokens: str | None = None,
    statsd_host: str | None = None,
    statsd_port: str | None = None,
    log_level: str | None = None,
    log_file: str | None = None,
    stop_grace_s: str | None = None,
    caller_tls_certificate: str | None = None,
    caller_tls_key: str | None = None,
    operator_tls_certificate: str | None = None,
    operator_tls_key: str | None = None,
    memory_mb: str | None = None,
    max_fds: str | None = None,
) -> int:
    """Run the entry daemon of a host.

    Each flag may be given as an environment variable FLAMINGOLADDER_<NAME> in place of it.

    :param host: name of this host
    :param region: region of this host
    :param failure_domain: failure domain of this host
    :param address: IP address to listen on, as others reach it
    :param caller_port: TCP port for callers
    :param operator_port: TCP port for operators
    :param peer_port: TCP port for other hosts
    :param platform_url: base URL of the platform's table, object store and host list
    :param platform_token: bearer token for the platform
    :param operator_tokens: role=sha256 of the token, separated by commas; roles viewer, operator
    :param statsd_host: host that takes metrics; none by default
    :param statsd_port: UDP port that takes metrics; 8125 by default
    :param log_level: DEBUG, INFO, WARNING or ERROR; INFO by default
    :param log_file: file for the log; standard error by default
    :param stop_grace_s: seconds that a graceful shutdown waits for requests; 20 by default
    :param caller_tls_certificate: PEM file with the certificate chain of the caller port
    :param caller_tls_key: PEM file with its key
    :param operator_tls_certificate: PEM file with the certificate chain of the operator port
    :param operator_tls_key: PEM file with its key
    :param memory_mb: memory of the process in megabytes; bodies and answers are kept within it
    :param max_fds: descriptors that the process may open; callers' connections are bounded by it
    """
    result = read_settings(locals(), os.environ)
    if result.is_error():
        for problem in result.error:
            print(f"setting {problem}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    try:
        event_loop.run(run_daemon(result.ok))
    except (OSError, LookupError) as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return ExitCode.REFUSED
    return ExitCode.DONE
