"""TLS contexts built from settings; certificates reload without a restart."""

import ssl

from rosepath.settings import TlsSettings


def server_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Build the context of a listener.

    With a client CA, clients must present a certificate.
    """
    if settings is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    load_certificate(context, settings)
    if settings.client_ca_file is not None:
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(settings.client_ca_file)
    return context


def peer_client_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Build the context for calls to peers.

    Peers are verified by a certificate of the deployment's own CA and not by
    host name, as addresses are IP addresses that change with every VM.
    """
    if settings is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.set_alpn_protocols(["h2"])
    load_certificate(context, settings)
    if settings.client_ca_file is not None:
        context.load_verify_locations(settings.client_ca_file)
    return context


def load_certificate(context: ssl.SSLContext, settings: TlsSettings) -> None:
    """Load or reload the certificate that new connections use."""
    context.load_cert_chain(settings.certificate_file, settings.key_file)


def grpc_server_context(settings: TlsSettings | None) -> ssl.SSLContext | None:
    """Build the context of a gRPC listener."""
    context = server_context(settings)
    if context is not None:
        context.set_alpn_protocols(["h2"])
    return context
