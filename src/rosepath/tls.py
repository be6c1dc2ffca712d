"""TLS contexts from settings, read again without a restart."""

import ssl

from rosepath.settings import TlsSettings


def server_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Build a listening side's context; a client CA makes certificates a must."""
    if settings is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    load_into(context, settings)
    if settings.client_ca_file is not None:
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(settings.client_ca_file)
    return context


def peer_client_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Build the context with which a node calls its peers.

    Peers are known by a certificate of the deployment's own CA, not by host
    name: addresses are IP numbers that change with every VM.
    """
    if settings is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.set_alpn_protocols(["h2"])
    load_into(context, settings)
    if settings.client_ca_file is not None:
        context.load_verify_locations(settings.client_ca_file)
    return context


def load_into(context: ssl.SSLContext, settings: TlsSettings) -> None:
    """Load, or load anew, the certificate that new connections will use."""
    context.load_cert_chain(settings.certificate_file, settings.key_file)


def grpc_server_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Build the context of a gRPC listener."""
    context = server_context(settings)
    if context is not None:
        context.set_alpn_protocols(["h2"])
    return context
