"""Helpers for HTTP requests and responses: tokens, bodies, methods and JSON."""

import hashlib
import json
from collections.abc import Mapping
from typing import Any

import cherrypy

from poplarfold._internal.exceptions import (
    AuthenticationError,
    CallInProgressError,
    MethodNotAllowedError,
    PoplarfoldError,
    PromptTooLargeError,
    RequestError,
    RequestTimeoutError,
)

__all__ = [
    "JSON_TYPE",
    "answer_error",
    "answer_json",
    "authenticate",
    "read_body",
    "require_method",
]

JSON_TYPE = "application/json"


def authenticate(names: Mapping[str, str]) -> str:
    """Return the name that belongs to the request's bearer token.

    Raises AuthenticationError. Tokens are looked up by their digest, so the time
    of the lookup reveals nothing about a token.
    """
    scheme, _, token = cherrypy.request.headers.get("Authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode("latin-1", "replace")).hexdigest()
    name = names.get(digest)
    if scheme.lower() != "bearer" or name is None:
        raise AuthenticationError("a valid bearer token is required")
    return name


def read_body() -> bytes:
    """Read the whole body.

    Raises RequestError, RequestTimeoutError or PromptTooLargeError.
    """
    request = cherrypy.serving.request
    try:
        length = request.headers.get("Content-Length")
        data: bytes = request.rfile.read()
    except TimeoutError:
        raise RequestTimeoutError("the body did not arrive in time") from None
    except (OSError, ValueError) as error:
        if "Too Large" in str(error):
            raise PromptTooLargeError("the body is over the size limit") from None
        raise RequestError(f"the body cannot be read: {error}") from None
    if length is not None and len(data) < int(length):
        raise RequestError("the body ends before its Content-Length")
    return data


def answer_error(error: PoplarfoldError, call_id: str | None) -> bytes:
    """Set the status and headers for an error and return its JSON body."""
    response = cherrypy.serving.response
    response.status = error.status
    response.headers["Content-Type"] = JSON_TYPE
    if isinstance(error, AuthenticationError):
        response.headers["WWW-Authenticate"] = "Bearer"
    if error.status in {429, 503} or isinstance(error, CallInProgressError):
        response.headers["Retry-After"] = "1"
    return json.dumps(error.as_body(call_id)).encode()


def answer_json(body: Mapping[str, Any]) -> bytes:
    """Set the content type and return the JSON body."""
    cherrypy.serving.response.headers["Content-Type"] = JSON_TYPE
    return json.dumps(body).encode()


def require_method(*methods: str) -> None:
    """Raise MethodNotAllowedError unless the request uses one of ``methods``."""
    if cherrypy.serving.request.method not in methods:
        cherrypy.serving.response.headers["Allow"] = ", ".join(methods)
        raise MethodNotAllowedError(f"use {' or '.join(methods)}")
