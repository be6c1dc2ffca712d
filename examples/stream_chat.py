"""Stream a chat from `rosepathd --standalone` with the openai client."""

import openai


def main() -> None:
    """Print the tokens as they arrive."""
    client = openai.OpenAI(api_key="demo-key", base_url="http://127.0.0.1:8080/v1")
    stream = client.chat.completions.create(
        model="court-rules",
        messages=[{"role": "user", "content": "Which form do I file?"}],
        max_tokens=12,
        stream=True,
    )
    for chunk in stream:
        for choice in chunk.choices:
            print(choice.delta.content or "", end="", flush=True)
    print()


if __name__ == "__main__":
    main()
